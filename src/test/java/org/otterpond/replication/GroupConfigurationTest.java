package org.otterpond.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/** What the configuration manager installs, and how a configuration is stored. */
class GroupConfigurationTest {
  private static final String KIND = "group";

  private final GroupConfiguration full =
      new GroupConfiguration(7, 3, "a@1", List.of("b@2", "c@3"), List.of("a@1", "b@2", "c@3"));
  private final GroupConfiguration alone =
      full.accept(full.next("a@1", List.of()), GroupConfigurationTest::noDiskLost).orElseThrow();

  private static boolean noDiskLost(String member) {
    return false;
  }

  @Test
  void givenGroupBelowItsFactor_whenMembersLeave_thenTheyStayEligible() {
    GroupConfiguration pair =
        full.accept(full.withoutSecondary("b@2"), GroupConfigurationTest::noDiskLost).orElseThrow();
    GroupConfiguration single =
        pair.accept(pair.withoutSecondary("c@3"), GroupConfigurationTest::noDiskLost).orElseThrow();

    assertEquals(List.of("b@2"), pair.eligible());
    assertEquals(List.of("c@3", "b@2"), single.eligible());
    assertFalse(single.isFullyReplicated());
  }

  @Test
  void givenEligibleReplicas_whenGroupIsFullyReplicated_thenNoneIsListed() {
    GroupConfiguration proposed = alone.next("a@1", List.of("d@4", "e@5"));

    GroupConfiguration installed =
        alone.accept(proposed, GroupConfigurationTest::noDiskLost).orElseThrow();

    assertTrue(installed.isFullyReplicated());
    assertEquals(List.of(), installed.eligible());
  }

  @Test
  void givenMembersWhoseDisksRemain_whenEligibleReplicaOffersToLead_thenItIsRefused() {
    assertEquals(
        Optional.empty(),
        alone.accept(alone.withPrimaryAlone("b@2"), GroupConfigurationTest::noDiskLost));
  }

  @Test
  void givenAllDisksOfMembersLost_whenEligibleReplicaOffersToLead_thenItLeadsAlone() {
    Predicate<String> diskLost = "a@1"::equals;

    GroupConfiguration installed =
        alone.accept(alone.withPrimaryAlone("b@2"), diskLost).orElseThrow();

    assertEquals(List.of("b@2"), installed.members());
    assertEquals(List.of("c@3"), installed.eligible());
    assertEquals(Optional.empty(), alone.accept(alone.next("b@2", List.of("c@3")), diskLost));
    assertEquals(Optional.empty(), alone.accept(alone.withPrimaryAlone("d@4"), diskLost));
  }

  @Test
  void givenOldProposal_whenAnotherVersionIsInForce_thenItIsRefused() {
    assertEquals(
        Optional.empty(),
        alone.accept(full.next("a@1", List.of("b@2")), GroupConfigurationTest::noDiskLost));
  }

  @Test
  void givenConfiguration_whenEncoded_thenItIsReadBackUnchanged() {
    assertEquals(alone, GroupConfiguration.of(alone.toWireRecord(KIND)));
    assertEquals(full, GroupConfiguration.of(full.toWireRecord(KIND)));
  }

  @Test
  void givenConfigurationOfEarlierVersion_whenRead_thenFactorIsTheNumberOfWantedMembers() {
    WireRecord encoded =
        new WireRecord(KIND)
            .with("group", 7)
            .with("version", 4)
            .with("primary", "a@1")
            .with("secondaries", List.of())
            .with("wanted", List.of("a@1", "b@2"));

    GroupConfiguration read = GroupConfiguration.of(encoded);

    assertEquals(2, read.replicationFactor());
    assertEquals(List.of(), read.eligible());
  }
}
