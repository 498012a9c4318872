/**
 * Bootstrap of the core: the seed nodes agree on the record of the first epoch by single-decree
 * Paxos.
 *
 * <p>{@link org.otterpond.control.bootstrap.CoreBootstrap} connects the two roles of a seed, {@link
 * org.otterpond.control.bootstrap.Proposer} (which is also the learner) and {@link
 * org.otterpond.control.bootstrap.Acceptor}, to the network. All types are confined to the owner
 * thread of the node.
 *
 * <p>May depend on {@code control.state}, {@code runtime} and {@code protocol}.
 */
package org.otterpond.control.bootstrap;
