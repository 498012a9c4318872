package org.otterpond.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against updates whose submitter is never told what became of them: a primary's role ends
 * between the preparation of an update and its commit.
 */
class UpdateOutcomeTest {
  private static final int GROUP = 3;
  private static final String ME = "disk1@10.0.0.1:7600";
  private static final String OTHER = "disk2@10.0.0.2:7600";
  private static final GroupConfiguration AS_PRIMARY =
      new GroupConfiguration(GROUP, 1, ME, List.of(OTHER), List.of(ME, OTHER));

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final ReplicaGroup replica =
      new ReplicaGroup(
          GROUP, ME, runtime, ReplicaGroupTimeouts.standard(), new RecordingStateMachine());
  private final List<String> outcomes = new ArrayList<>();

  private final class Recorder implements UpdateListener {
    private final String name;

    Recorder(String name) {
      this.name = name;
    }

    @Override
    public void committed() {
      outcomes.add(name + " committed");
    }

    @Override
    public void rejected() {
      outcomes.add(name + " rejected");
    }

    @Override
    public void undecided() {
      outcomes.add(name + " undecided");
    }
  }

  private void update(String name, boolean needsCopies) {
    replica.update(RecordingStateMachine.entry(name), needsCopies, new Recorder(name));
  }

  private void acknowledge(long serial) {
    PreparedMessage message =
        new PreparedMessage(GROUP, 1, OTHER, serial, OptionalLong.empty(), false);
    replica.onMessage(GroupConfiguration.addressOf(OTHER), message.toWireRecord());
  }

  @BeforeEach
  void becomePrimary() {
    replica.learn(AS_PRIMARY);
    acknowledge(0);
  }

  @Test
  void givenPreparedUpdates_whenRoleEnds_thenTheirOutcomeIsUndecidedInTheirOrder() {
    update("a", false);
    update("b", false);
    runtime.answerWrites(true);
    acknowledge(1);

    replica.learn(AS_PRIMARY.withPrimary(OTHER));

    assertEquals(List.of("a committed", "b undecided"), outcomes);
  }

  @Test
  void givenUpdateThatWaitsForReplicas_whenRoleEnds_thenItIsRejected() {
    replica.learn(new GroupConfiguration(GROUP, 1, ME, List.of(OTHER), List.of(ME, OTHER, "x@y")));
    update("a", true);

    replica.learn(AS_PRIMARY.withPrimary(OTHER));

    assertEquals(List.of("a rejected"), outcomes);
  }

  @Test
  void givenSecondary_whenUpdated_thenItIsRejected() {
    replica.learn(AS_PRIMARY.withPrimary(OTHER));

    update("a", false);

    assertEquals(List.of("a rejected"), outcomes);
  }
}
