package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.KnownVersions;
import org.otterpond.control.message.NodePoll;

class NodeLeaseTableTest {
  private static final KnownVersions NOTHING = new KnownVersions(0, 0, 0, 0, OptionalLong.empty());

  private final ManualRuntime runtime = new ManualRuntime();
  private final NodeLeaseTable leases = new NodeLeaseTable(runtime);

  private static NodePoll poll(long incarnation) {
    return SingleMemberCore.poll("n1", incarnation, NOTHING);
  }

  @Test
  void givenLease_whenSameIncarnationPolls_thenLeaseIsRenewed() {
    // given
    final NodeLease lease = leases.renew("n1:1", poll(1));
    final long version = leases.membershipVersion();
    runtime.run(NodeLeaseTable.NODE_LEASE_MICROS);

    // when
    NodeLease renewed = leases.renew("n1:1", poll(1));
    runtime.run(NodeLeaseTable.NODE_LEASE_MICROS);
    leases.expire((address, any) -> {});

    // then
    assertSame(lease, renewed);
    assertTrue(leases.contains("n1:1"));
    assertEquals(version, leases.membershipVersion());
  }

  @Test
  void givenLease_whenOtherIncarnationPolls_thenLeaseIsNew() {
    NodeLease lease = leases.renew("n1:1", poll(1));
    assertNotSame(lease, leases.renew("n1:1", poll(2)));
  }

  @Test
  void givenLease_whenNotRenewed_thenItExpiresAndMembershipChanges() {
    // given
    leases.renew("n1:1", poll(1));
    long version = leases.membershipVersion();

    // when
    runtime.run(NodeLeaseTable.NODE_LEASE_MICROS + 1);
    leases.expire((address, any) -> {});

    // then
    assertEquals(version + 1, leases.membershipVersion());
    assertTrue(runtime.events().contains("event=node_lease_expired node=n1"));
  }

  @Test
  void givenEarlyPolls_whenRemoved_thenOnlyRecentOnesAreReturned() {
    // given
    EarlyPolls early = new EarlyPolls(runtime);
    early.add("old:1", poll(1));
    runtime.run(1_500_001);
    early.add("n1:1", poll(1));

    // when, then
    assertEquals(Set.of("n1:1"), early.removeAll().keySet());
    assertTrue(early.removeAll().isEmpty());
  }
}
