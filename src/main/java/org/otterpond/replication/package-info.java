/**
 * Replica groups after "PacificA: Replication in Log-Based Distributed Storage Systems": a primary
 * that orders updates, secondaries that prepare them, and a configuration manager that decides who
 * is a member.
 *
 * <p>{@link org.otterpond.replication.ReplicaGroup} is one replica of one group and the only owner
 * of its role transitions. All objects of a group are confined to the owner thread of the node;
 * none of them locks. Time, messages, the log and the configuration manager are reached through
 * {@link org.otterpond.replication.ReplicaGroupRuntime}, and what is replicated is behind {@link
 * org.otterpond.replication.StateMachine}. The package depends on {@code protocol} only.
 */
package org.otterpond.replication;
