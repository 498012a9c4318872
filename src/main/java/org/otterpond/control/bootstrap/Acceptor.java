package org.otterpond.control.bootstrap;

import java.util.Optional;
import org.otterpond.control.state.EpochRecord;

/**
 * The acceptor of the single-decree Paxos. Its promises are kept in memory only, so it exists only
 * in the first incarnation of a seed node.
 */
final class Acceptor {
  private long promisedNumber;
  private long acceptedNumber;
  private EpochRecord acceptedValue;

  /** Returns the highest proposal number promised; 0 before the first promise. */
  long promisedNumber() {
    return promisedNumber;
  }

  /** Promises, unless the same or a higher number was promised before. */
  Optional<BootstrapMessage.Promise> onPrepare(BootstrapMessage.Prepare prepare) {
    if (prepare.proposalNumber() <= promisedNumber) {
      return Optional.empty();
    }
    promisedNumber = prepare.proposalNumber();
    return Optional.of(new BootstrapMessage.Promise(promisedNumber, acceptedNumber, acceptedValue));
  }

  /** Accepts the value, unless a higher number was promised before. */
  Optional<BootstrapMessage.Accepted> onAccept(BootstrapMessage.Accept accept) {
    if (accept.proposalNumber() < promisedNumber) {
      return Optional.empty();
    }
    promisedNumber = accept.proposalNumber();
    acceptedNumber = accept.proposalNumber();
    acceptedValue = accept.value();
    return Optional.of(new BootstrapMessage.Accepted(acceptedNumber));
  }
}
