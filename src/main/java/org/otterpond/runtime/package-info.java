/**
 * The runtime interface between the state machines and their surroundings, implemented by the
 * production server and by the simulator.
 *
 * <p>Calls and callbacks are made on the owner thread of the node. May depend on {@code protocol}.
 */
package org.otterpond.runtime;
