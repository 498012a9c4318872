package org.otterpond.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

class EpochRecordTest {
  private static final CoreMember FIRST = member("disk1");
  private static final CoreMember SECOND = member("disk2");
  private static final CoreMember THIRD = member("disk3");

  private static CoreMember member(String diskId) {
    return new CoreMember(diskId, "address", "name", "zone");
  }

  /** The encoded form of versions with at most one backup. */
  private static WireRecord earlierVersion() {
    return new WireRecord("epoch")
        .with("fleet", "fleet")
        .with("epoch", 1L)
        .with("primary", FIRST.toWireRecord())
        .withRecords("members", List.of(FIRST.toWireRecord(), SECOND.toWireRecord()))
        .with("target", 3L);
  }

  @Test
  void givenRecordOfEarlierVersion_whenDecoded_thenItsOnlyBackupIsRead() throws ProtocolException {
    WireRecord encoded = earlierVersion().with("backup", SECOND.toWireRecord());

    assertEquals(List.of(SECOND), EpochRecord.decode(encoded).backups());
  }

  @Test
  void givenCoreOfOneOfEarlierVersion_whenDecoded_thenThereAreNoBackups() throws ProtocolException {
    assertEquals(List.of(), EpochRecord.decode(earlierVersion()).backups());
  }

  @Test
  void givenRecordWithoutPrimary_whenDecoded_thenItIsMalformed() {
    WireRecord encoded = earlierVersion();
    encoded.fields().remove("primary");

    ProtocolException error =
        assertThrows(ProtocolException.class, () -> EpochRecord.decode(encoded));

    assertEquals("kind epoch lacks the required field primary", error.getMessage());
  }

  @Test
  void givenThreeMembers_whenDisksAreCounted_thenTwoAreMajority() {
    List<CoreMember> members = List.of(FIRST, SECOND, THIRD);

    assertTrue(EpochRecord.isMajority(members, Set.of("disk1", "disk3", "other")));
    assertFalse(EpochRecord.isMajority(members, Set.of("disk1", "other")));
    assertTrue(EpochRecord.sameSet(members, List.of(THIRD, FIRST, SECOND)));
  }
}
