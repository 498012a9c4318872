package org.otterpond.control.primary;

import org.otterpond.control.message.NodePoll;

/** The lease of one node, renewed by its polls, with the poll that awaits a response. */
final class NodeLease {
  /** The node has received no membership update yet. */
  private static final long NO_MEMBERSHIP = -1;

  private final long firstPolledAtMicros;
  private NodePoll poll;
  private long polledAtMicros;
  private boolean responsePending;
  private long workerTableVersion;
  private long membershipVersion = NO_MEMBERSHIP;
  private boolean authorityDoubtful;

  NodeLease(long nowMicros) {
    this.firstPolledAtMicros = nowMicros;
  }

  /** Takes a poll, which renews the lease and awaits a response. */
  void renew(NodePoll newPoll, long nowMicros) {
    poll = newPoll;
    polledAtMicros = nowMicros;
    responsePending = true;
  }

  /** Whether the node's newest poll is of another process than the given one. */
  boolean isOfOtherIncarnation(NodePoll other) {
    return poll.node().incarnation() != other.node().incarnation();
  }

  /**
   * Notes that a response to the newest poll is sent.
   *
   * @param sentMembershipVersion version of the membership that the node knows then
   * @param doubtful whether the response rests on authority that was proved too long before, so
   *     that it is to be followed by another
   */
  void responded(long sentMembershipVersion, boolean doubtful) {
    responsePending = false;
    membershipVersion = sentMembershipVersion;
    authorityDoubtful = doubtful;
  }

  /** Sets the version of the worker table that the node is known to have. */
  void workerTableVersion(long version) {
    workerTableVersion = version;
  }

  /** Returns the version of the worker table that the node is known to have; 0 for none. */
  long workerTableVersion() {
    return workerTableVersion;
  }

  /** Returns the newest poll. */
  NodePoll poll() {
    return poll;
  }

  /** Returns when the newest poll arrived. */
  long polledAtMicros() {
    return polledAtMicros;
  }

  /** Returns when the first poll of this incarnation arrived. */
  long firstPolledAtMicros() {
    return firstPolledAtMicros;
  }

  /** Whether the newest poll awaits a response. */
  boolean isResponsePending() {
    return responsePending;
  }

  /** Whether the node has received no response under this lease. */
  boolean isUnanswered() {
    return membershipVersion == NO_MEMBERSHIP;
  }

  /** Whether the node lacks the given version of the membership. */
  boolean lacksMembership(long version) {
    return membershipVersion != version;
  }

  /** Whether the last response rested on authority that was proved too long before. */
  boolean isAuthorityDoubtful() {
    return authorityDoubtful;
  }
}
