package org.otterpond.control.bootstrap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/** The rules of single-decree Paxos, role by role. */
class SingleDecreePaxosTest {
  private static final int SEEDS = 3;

  private static EpochRecord value(String fleet) {
    CoreMember member = new CoreMember("disk", "address", "name", "zone");
    return new EpochRecord(fleet, 1, member, List.of(), List.of(member), 1);
  }

  private static BootstrapMessage.Promise promise(long number, long accepted, EpochRecord value) {
    return new BootstrapMessage.Promise(number, accepted, value);
  }

  @Test
  void givenPromisedNumber_whenLowerProposalsArrive_thenTheyAreRejected() {
    Acceptor acceptor = new Acceptor();
    assertTrue(acceptor.onPrepare(new BootstrapMessage.Prepare(10)).isPresent());

    assertTrue(acceptor.onPrepare(new BootstrapMessage.Prepare(10)).isEmpty());
    assertTrue(acceptor.onAccept(new BootstrapMessage.Accept(9, value("f"))).isEmpty());
    assertTrue(acceptor.onAccept(new BootstrapMessage.Accept(10, value("f"))).isPresent());
  }

  @Test
  void givenAcceptedValue_whenPromisingAgain_thenThePromiseReportsIt() {
    Acceptor acceptor = new Acceptor();
    acceptor.onAccept(new BootstrapMessage.Accept(10, value("f")));

    assertEquals(
        Optional.of(promise(18, 10, value("f"))),
        acceptor.onPrepare(new BootstrapMessage.Prepare(18)));
  }

  @Test
  void givenPromisesWithAcceptedValues_whenMajorityPromised_thenNewestIsProposed() {
    Proposer proposer = new Proposer(0, SEEDS);
    long number = proposer.prepare(20).proposalNumber();

    assertTrue(
        proposer.onPromise("a", promise(number, 9, value("old")), () -> value("own")).isEmpty());
    BootstrapMessage.Accept accept =
        proposer
            .onPromise("b", promise(number, 17, value("new")), () -> value("own"))
            .orElseThrow();

    assertEquals(24, number, "the first number of this rank above the promised one");
    assertEquals(value("new"), accept.value());
  }

  @Test
  void givenProposal_whenMajorityAccepted_thenItIsDecidedOnce() {
    Proposer proposer = new Proposer(1, SEEDS);
    long number = proposer.prepare(0).proposalNumber();
    EpochRecord own = value("own");
    proposer.onPromise("a", promise(number, 0, null), () -> own);
    proposer.onPromise("b", promise(number, 0, null), () -> own);

    assertFalse(proposer.onAccepted("a", new BootstrapMessage.Accepted(number)));
    assertFalse(proposer.onAccepted("a", new BootstrapMessage.Accepted(number)), "counted once");
    assertFalse(proposer.onAccepted("c", new BootstrapMessage.Accepted(number - 8)));
    assertNull(proposer.decided());
    assertTrue(proposer.onAccepted("b", new BootstrapMessage.Accepted(number)));

    assertSame(own, proposer.decided());
    assertFalse(proposer.onAccepted("c", new BootstrapMessage.Accepted(number)));
  }
}
