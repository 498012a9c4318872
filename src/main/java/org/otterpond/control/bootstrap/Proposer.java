package org.otterpond.control.bootstrap;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.otterpond.control.state.EpochRecord;

/**
 * The proposer of the single-decree Paxos, and the learner of its own proposals: a value accepted
 * by a majority is decided.
 */
final class Proposer {
  /** Numbers of one round, so that no two seeds use the same; at most eight seeds take part. */
  private static final int NUMBERS_PER_ROUND = 8;

  private final int rank;
  private final int majority;

  private long proposalNumber;
  private boolean collectingPromises;
  private final Map<String, BootstrapMessage.Promise> promises = new HashMap<>();

  /** The value sent with the newest accept request of this proposer; null before the first. */
  private EpochRecord proposedValue;

  private final Set<String> acceptedBy = new HashSet<>();
  private EpochRecord decided;

  /**
   * Creates a proposer.
   *
   * @param rank position of this node among the seeds, by which its proposal numbers are unique
   * @param seedCount number of seeds
   */
  Proposer(int rank, int seedCount) {
    this.rank = rank;
    this.majority = seedCount / 2 + 1;
  }

  /** Returns whether a proposal was started before. */
  boolean hasProposed() {
    return proposalNumber != 0;
  }

  /** Returns the decided value, or null if this node knows of no decision. */
  EpochRecord decided() {
    return decided;
  }

  /** Starts a proposal whose number is above all that this node has used or promised. */
  BootstrapMessage.Prepare prepare(long promisedNumber) {
    long round = Math.max(promisedNumber, proposalNumber) / NUMBERS_PER_ROUND + 1;
    proposalNumber = round * NUMBERS_PER_ROUND + rank;
    collectingPromises = true;
    promises.clear();
    acceptedBy.clear();
    return new BootstrapMessage.Prepare(proposalNumber);
  }

  /**
   * Counts a promise.
   *
   * @param ownValue gives the value to propose if no promise reports an accepted one
   * @return the accept request, once a majority has promised
   */
  Optional<BootstrapMessage.Accept> onPromise(
      String from, BootstrapMessage.Promise promise, Supplier<EpochRecord> ownValue) {
    if (!collectingPromises || promise.proposalNumber() != proposalNumber) {
      return Optional.empty();
    }
    promises.put(from, promise);
    if (promises.size() < majority) {
      return Optional.empty();
    }
    collectingPromises = false;
    proposedValue = newestAcceptedValue().orElseGet(ownValue);
    return Optional.of(new BootstrapMessage.Accept(proposalNumber, proposedValue));
  }

  private Optional<EpochRecord> newestAcceptedValue() {
    return promises.values().stream()
        .filter(promise -> Objects.nonNull(promise.acceptedValue()))
        .max(Comparator.comparingLong(BootstrapMessage.Promise::acceptedNumber))
        .map(BootstrapMessage.Promise::acceptedValue);
  }

  /**
   * Counts an acceptance.
   *
   * @return whether the value is decided by it
   */
  boolean onAccepted(String from, BootstrapMessage.Accepted accepted) {
    if (accepted.proposalNumber() != proposalNumber || proposedValue == null || decided != null) {
      return false;
    }
    acceptedBy.add(from);
    if (acceptedBy.size() < majority) {
      return false;
    }
    decided = proposedValue;
    return true;
  }
}
