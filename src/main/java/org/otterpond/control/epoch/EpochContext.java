package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.Encodable;
import org.otterpond.runtime.NodeRuntime;

/**
 * What all parts of the package work with.
 *
 * @param runtime time, messages, log and timers of this node
 * @param timeouts the time-outs
 * @param self this node as a member
 * @param state the replicated state
 * @param faultTolerance what the core must survive
 */
record EpochContext(
    NodeRuntime runtime,
    EpochTimeouts timeouts,
    CoreMember self,
    ReplicatedState state,
    FaultTolerance faultTolerance) {
  /** Long before any time of the clock; the difference to any time does not overflow. */
  static final long DISTANT_PAST = Long.MIN_VALUE / 2;

  long now() {
    return runtime.now();
  }

  boolean isSelf(CoreMember member) {
    return member.diskId().equals(self.diskId());
  }

  void send(String address, Encodable message) {
    runtime.send(address, message);
  }

  /** Sends the message to all of these members but this node. */
  void sendToOthers(Iterable<CoreMember> members, Encodable message) {
    for (CoreMember member : members) {
      if (!isSelf(member)) {
        runtime.send(member.address(), message);
      }
    }
  }

  /** Returns the group of an epoch with this node as primary. */
  List<CoreMember> groupWith(List<CoreMember> backups) {
    List<CoreMember> group = new ArrayList<>(backups);
    group.add(self);
    return group;
  }

  /** Returns the names of the members for a log event. */
  static String names(List<CoreMember> members) {
    return String.join(",", members.stream().map(CoreMember::name).toList());
  }
}
