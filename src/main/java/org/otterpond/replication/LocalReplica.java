package org.otterpond.replication;

/**
 * What the roles of one replica share: its identity, its prepared list, the configuration in force
 * and whether its state can be relied on. Roles read it; {@link ReplicaGroup} changes the
 * configuration.
 */
final class LocalReplica {
  private final int group;
  private final String member;
  private final ReplicaGroupRuntime runtime;
  private final ReplicaGroupTimeouts timeouts;
  private final StateMachine stateMachine;
  private final PreparedList preparedList;
  private GroupConfiguration configuration;
  private boolean complete;
  private boolean refreshing;
  private boolean diskFailed;
  private long lastTransfer;

  LocalReplica(
      int group,
      String member,
      ReplicaGroupRuntime runtime,
      ReplicaGroupTimeouts timeouts,
      StateMachine stateMachine) {
    this.group = group;
    this.member = member;
    this.runtime = runtime;
    this.timeouts = timeouts;
    this.stateMachine = stateMachine;
    this.preparedList = new PreparedList(group, runtime, stateMachine);
  }

  int group() {
    return group;
  }

  String member() {
    return member;
  }

  ReplicaGroupRuntime runtime() {
    return runtime;
  }

  long now() {
    return runtime.now();
  }

  ReplicaGroupTimeouts timeouts() {
    return timeouts;
  }

  StateMachine stateMachine() {
    return stateMachine;
  }

  PreparedList preparedList() {
    return preparedList;
  }

  /** Returns the newest known configuration, or null if there is none. */
  GroupConfiguration configuration() {
    return configuration;
  }

  void setConfiguration(GroupConfiguration newest) {
    configuration = newest;
  }

  /** Returns whether the newest known configuration has the given version. */
  boolean isInVersion(long version) {
    return configuration != null && configuration.version() == version;
  }

  /** Returns whether the configuration names this replica as primary. */
  boolean isPrimary() {
    return configuration != null && configuration.primary().equals(member);
  }

  /** Returns whether the configuration names this replica as primary or secondary. */
  boolean isMember() {
    return configuration != null && configuration.has(member);
  }

  /**
   * Returns whether the state is complete: since the first configuration, by a finished state
   * transfer, or from the log.
   */
  boolean isComplete() {
    return complete;
  }

  void setComplete(boolean isComplete) {
    complete = isComplete;
  }

  /**
   * Returns whether a transfer is replacing a retained copy. Until it ends, the state is a mixture
   * of both that still holds everything that was acknowledged.
   */
  boolean isRefreshing() {
    return refreshing;
  }

  /**
   * Returns whether this replica is no member and must keep its copy: the group is not fully
   * replicated yet, and this copy holds everything that was acknowledged.
   */
  boolean mustRetainCopy() {
    return configuration != null && configuration.isEligible(member) && (complete || refreshing);
  }

  /** Returns whether a write failed since the last state transfer began. */
  boolean hasDiskFailed() {
    return diskFailed;
  }

  /**
   * Returns whether the log of this node may be relied on for the group: no write failed, or this
   * is the only member, so that there is no other replica to copy from.
   */
  boolean isLogReliable() {
    return !diskFailed || (isPrimary() && configuration.secondaries().isEmpty());
  }

  /** Records a failed write: without its log this replica can prepare nothing. */
  void onWriteFailed() {
    if (!diskFailed) {
      diskFailed = true;
      runtime.event("event=group_disk_failed group=" + group);
    }
  }

  /**
   * Begins a transfer that brings the state from a committed point on. A copy that must be retained
   * is refreshed; any other is void from now on.
   */
  void beginCopy(long committedPoint) {
    diskFailed = false;
    boolean refresh = mustRetainCopy();
    if (refresh) {
      beginRefresh(committedPoint);
    } else {
      clear(committedPoint);
    }
    runtime.journal(
        new GroupLogRecord.CopyStarted(group, committedPoint, refresh),
        position -> {
          if (position < 0) {
            onWriteFailed();
          }
        });
  }

  /** Begins to refresh the present copy, in memory. */
  void beginRefresh(long committedPoint) {
    complete = false;
    refreshing = true;
    preparedList.beginRefresh(committedPoint);
    stateMachine.beginRefresh();
  }

  /** Ends a transfer: all pieces of the state have been loaded. */
  void completeCopy() {
    if (refreshing) {
      stateMachine.finishRefresh();
      preparedList.finishRefresh();
    }
    refreshing = false;
    complete = true;
  }

  /** Returns to the retained copy as far as the transfer has not replaced it, in memory. */
  void cancelRefresh() {
    stateMachine.cancelRefresh();
    preparedList.cancelRefresh();
    refreshing = false;
    complete = true;
  }

  /** Removes the state of a replica that left the group. */
  void dropCopy() {
    clear(0);
    append(new GroupLogRecord.CopyDropped(group));
  }

  /** Removes the state in memory and continues after a committed point. */
  void clear(long committedPoint) {
    complete = false;
    refreshing = false;
    stateMachine.clear();
    preparedList.reset(committedPoint);
  }

  /** Appends a log record whose durability nothing waits for. */
  void append(GroupLogRecord logRecord) {
    runtime.journal(logRecord, position -> {});
  }

  /** Notifies another member of a configuration. */
  void sendConfiguration(String recipient, GroupConfiguration installed) {
    if (!recipient.equals(member)) {
      runtime.send(recipient, new ConfigurationMessage(group, installed));
    }
  }

  /** Returns a number that no other transfer from this process has. */
  long nextTransfer() {
    return ++lastTransfer;
  }
}
