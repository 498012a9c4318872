/**
 * Detection of slow workers from what one node's load balancer sees, after Xu Kuang and Gal
 * Mendelson, "Learning Service Slowdown using Observational Data".
 *
 * <p>A detector is confined to the owner thread of its node. The package depends on no other
 * package of the program.
 */
package org.otterpond.outlier;
