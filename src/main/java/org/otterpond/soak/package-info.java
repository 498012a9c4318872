/**
 * The soak: real nodes, each a process, with workers and clients on loopback sockets, under random
 * kills, suspensions, signals, configuration changes, cut connections and lost responses that come
 * in series and overlap. What happened is judged from outside, by the records of the workers and
 * the clients, and by the violations that the nodes count themselves.
 *
 * <p>One seed is one schedule. Workers and clients block threads of their own; the records are
 * shared between threads and safe for that. The package may use the client of the control API and
 * the configuration, and nothing of how nodes work.
 */
package org.otterpond.soak;
