package org.otterpond.control.primary;

import java.util.List;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/** The node's replica of the core, as membership and quotas see it. */
final class ReplicaAdapter implements CoreMembership.Core, QuotaLending.Authority {
  private final EpochReplica replica;

  ReplicaAdapter(EpochReplica replica) {
    this.replica = replica;
  }

  @Override
  public EpochRecord record() {
    return replica.record();
  }

  @Override
  public boolean isSilent(CoreMember member, long micros) {
    return replica.silent(member, micros);
  }

  @Override
  public boolean isLeaving(CoreMember member) {
    return replica.leaving(member);
  }

  @Override
  public void changeMembers(List<CoreMember> members) {
    replica.changeMembers(members);
  }

  @Override
  public boolean mayLend() {
    return replica.mayGrantTokens();
  }

  @Override
  public long lendingFromMicros() {
    return replica.grantsTokensFrom();
  }
}
