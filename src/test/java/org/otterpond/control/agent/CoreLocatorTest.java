package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.MILLIS;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.otterpond.control.bootstrap.CoreBootstrap;
import org.otterpond.control.message.NodeHello;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;

class CoreLocatorTest {
  private static final long HELLO_INTERVAL = 250 * MILLIS;

  private final RecordingRuntime runtime = new RecordingRuntime();
  private final CoreLocator locator = locator(runtime);

  static CoreLocator locator(RecordingRuntime runtime) {
    NodeIdentity identity =
        new NodeIdentity(
            "self", "node", "z", null, false, false, List.of("seed1", "seed2"), /* life */ 1);
    CoreBootstrap bootstrap =
        new CoreBootstrap(runtime, "self", identity.seeds(), false, FaultTolerance.ofMachines(1));
    return new CoreLocator(runtime, identity, bootstrap, Optional::empty);
  }

  static EpochRecord epoch(String fleet, long epoch, String primary) {
    CoreMember member = new CoreMember("disk-" + primary, primary, primary, "z");
    return new EpochRecord(fleet, epoch, member, List.of(), List.of(member), 1);
  }

  private Set<String> recipients() {
    return runtime.takeSent().stream().map(RecordingRuntime.Sent::to).collect(Collectors.toSet());
  }

  @Test
  void seedsAreAskedWhileTheCoreIsUnknown() {
    locator.hello(runtime.now());

    assertEquals(Set.of("seed1", "seed2"), recipients());
  }

  @Test
  void helloIsNotRepeatedWithinItsInterval() {
    locator.hello(runtime.now());
    recipients();

    runtime.run(HELLO_INTERVAL - 1);
    locator.hello(runtime.now());
    assertEquals(Set.of(), recipients());
    runtime.run(1);
    locator.hello(runtime.now());

    assertEquals(Set.of("seed1", "seed2"), recipients());
  }

  @Test
  void seedsAreAskedWithEveryFourthHelloOnceTheCoreIsKnown() {
    locator.adopt(epoch("f", 1, "p1"));

    for (int i = 1; i <= 4; i++) {
      runtime.run(HELLO_INTERVAL);
      locator.hello(runtime.now());
      Set<String> asked = recipients();
      assertTrue(asked.contains("p1"), asked::toString);
      assertEquals(i == 4, asked.contains("seed2"), asked::toString);
    }
  }

  @Test
  void onlyNewerEpochOfTheSameFleetIsAdopted() {
    assertTrue(locator.adopt(epoch("f", 2, "p2")));

    assertFalse(locator.adopt(epoch("f", 2, "p1")));
    assertFalse(locator.adopt(epoch("f", 1, "p1")));
    assertFalse(locator.adopt(epoch("other", 3, "p3")));
    assertEquals("p2", locator.primaryAddress());
    assertTrue(locator.adopt(epoch("f", 3, "p3")));
    assertEquals("p3", locator.primaryAddress());
  }

  @Test
  void knownEpochIsAnnouncedToNeighboursAndToNodesThatSayHello() {
    locator.adopt(epoch("f", 2, "p2"));
    locator.setNeighbours(List.of("n1", "n2", "self"));

    locator.announceToNeighbours();
    assertEquals(Set.of("n1", "n2"), recipients());
    locator.onHello("n3", new NodeHello("n3", "n3", "z", null));

    RecordingRuntime.Sent answer = runtime.takeOnlySent();
    assertEquals("n3", answer.to());
    assertEquals(EpochAnnouncement.KIND, answer.message().kind());
  }

  @Test
  void helloIsNotAnsweredWhileTheCoreIsUnknown() {
    locator.onHello("n3", new NodeHello("n3", "n3", "z", null));

    assertTrue(runtime.takeSent().isEmpty());
  }
}
