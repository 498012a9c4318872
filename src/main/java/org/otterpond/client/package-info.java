/**
 * A client of the control API, for the command line and for tools.
 *
 * <p>Calls block the calling thread; each opens a connection of its own. The package depends on
 * {@code config} for JSON only.
 */
package org.otterpond.client;
