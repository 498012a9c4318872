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

  /** Begins with an empty state that a transfer is to fill from a committed point on. */
  void beginCopy(long committedPoint) {
    diskFailed = false;
    clear(committedPoint);
    append(new GroupLogRecord.CopyStarted(group, committedPoint));
  }

  /** Removes the state of a replica that left the group. */
  void dropCopy() {
    clear(0);
    append(new GroupLogRecord.CopyDropped(group));
  }

  /** Removes the state in memory and continues after a committed point. */
  void clear(long committedPoint) {
    complete = false;
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
