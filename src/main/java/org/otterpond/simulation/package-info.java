/**
 * The deterministic simulation tester: runs whole clusters in one thread on a simulated clock,
 * network and disks, injects faults, and checks what can be observed from outside.
 *
 * <p>{@link org.otterpond.simulation.SimulatedWorld} holds the clock, the network and the source of
 * random numbers; {@link org.otterpond.simulation.SimulatedCluster} holds the nodes, which run the
 * state machines of the production server on a {@link org.otterpond.simulation.SimulatedRuntime}.
 * {@link org.otterpond.simulation.Simulation} runs one {@link org.otterpond.simulation.Schedule} of
 * clients and faults; {@link org.otterpond.simulation.InvariantChecker}, {@link
 * org.otterpond.simulation.MessageInvariantChecker} and {@link
 * org.otterpond.simulation.LinearizabilityChecker} check it, and {@link
 * org.otterpond.simulation.ScheduleShrinker} reduces a schedule that fails.
 *
 * <p>A seed decides a run: random numbers are drawn in a fixed order, and nothing depends on real
 * time or on the iteration order of unordered collections. All times are in microseconds unless a
 * name says otherwise.
 *
 * <p>Thread: everything of a run belongs to the one thread that runs it; there are no locks.
 * Several runs may proceed in different threads. Dependencies: any package below, never {@code
 * server} or {@code client}; only {@code cli} depends on this package.
 */
package org.otterpond.simulation;
