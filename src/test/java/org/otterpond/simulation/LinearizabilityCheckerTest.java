package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.simulation.LinearizabilityChecker.Verdict;

/** The linearizability check on hand-written histories, and against an exhaustive search. */
class LinearizabilityCheckerTest {
  private static final ConfigurationWrite WRITE_A = ConfigurationWrite.replace(0, 1, "a", "");
  private static final ConfigurationWrite WRITE_B = ConfigurationWrite.replace(0, 1, "b", "");
  private static final ConfigurationWrite WRITE_C = ConfigurationWrite.modify(1, 2, "c");
  private static final ConfigurationWrite WRITE_D = ConfigurationWrite.replace(1, 3, "d", "");

  private static final List<ConfigurationWrite> WRITES =
      List.of(
          WRITE_A,
          WRITE_B,
          WRITE_C,
          WRITE_D,
          ConfigurationWrite.replace(2, 3, "e", ""),
          ConfigurationWrite.modify(3, 4, "f"));

  private static final List<Integer> STATUSES = List.of(0, 200, 200, 412);

  private final List<Operation> history = new ArrayList<>();

  /** Adds a write; status 0 means that it never returns. */
  private Operation write(ConfigurationWrite write, long invoked, long returned, int status) {
    Operation operation = new Operation(Operation.Kind.WRITE, "n", write, invoked);
    operation.returnedMicros = status == 0 ? Operation.NEVER : returned;
    operation.status = status;
    history.add(operation);
    return operation;
  }

  private Operation show(
      Operation.Kind kind, long invoked, long returned, long revision, String... content) {
    Operation operation = new Operation(kind, "n", null, invoked);
    operation.returnedMicros = returned;
    operation.revision = revision;
    operation.content = List.of(content);
    history.add(operation);
    return operation;
  }

  private Operation read(long invoked, long returned, long revision, String... content) {
    return show(Operation.Kind.READ, invoked, returned, revision, content);
  }

  private void assertLinearizable() {
    assertEquals(Verdict.LINEARIZABLE, new LinearizabilityChecker(history).verdict());
  }

  private void assertViolatedBy(Operation violation) {
    LinearizabilityChecker checker = new LinearizabilityChecker(history);
    assertEquals(Verdict.VIOLATED, checker.verdict());
    assertSame(violation, checker.firstViolation());
    assertTrue(checker.explain().contains(violation.toString()));
  }

  @Test
  void oneOfConcurrentWritesIsConfirmedAndSoIsItsRetry() {
    write(WRITE_A, 10, 20, 200);
    write(WRITE_B, 11, 21, 412);
    read(22, 23, 1, "a");
    write(WRITE_C, 24, 0, 0);
    write(WRITE_D, 25, 30, 412);
    read(31, 32, 2, "a", "c");
    write(WRITE_C, 40, 41, 200);
    write(WRITE_A, 42, 43, 200);
    assertLinearizable();
  }

  @Test
  void writeWithoutAnswerMayTakeEffectLateOrNever() {
    write(WRITE_A, 10, 0, 0);
    write(WRITE_B, 11, 0, 0);
    read(12, 13, 0);
    read(50, 51, 1, "b");
    write(WRITE_D, 60, 0, 0);
    read(70, 71, 1, "b");
    assertLinearizable();
  }

  @Test
  void rejectionMayBeExplainedByUnansweredWrite() {
    write(WRITE_A, 10, 20, 200);
    write(WRITE_D, 21, 0, 0);
    write(WRITE_C, 30, 31, 412);
    assertLinearizable();
  }

  @Test
  void twoConfirmedWritesOnOneBaseAreViolation() {
    write(WRITE_A, 10, 20, 200);
    assertViolatedBy(write(WRITE_B, 11, 21, 200));
  }

  @Test
  void rejectionAfterConfirmationIsViolation() {
    write(WRITE_A, 10, 20, 200);
    write(WRITE_D, 21, 22, 200);
    assertViolatedBy(write(WRITE_A, 23, 24, 412));
  }

  @Test
  void rejectionAfterReadOfWriteIsViolation() {
    write(WRITE_A, 10, 0, 0);
    read(12, 13, 1, "a");
    assertViolatedBy(write(WRITE_A, 23, 24, 412));
  }

  @Test
  void rejectionFromStaleStateIsViolation() {
    write(WRITE_A, 10, 20, 200);
    assertViolatedBy(write(WRITE_C, 23, 24, 412));
  }

  @Test
  void rejectionWithoutReasonIsViolation() {
    assertViolatedBy(write(WRITE_A, 10, 20, 400));
  }

  @Test
  void lossOfConfirmedWriteIsViolation() {
    write(WRITE_A, 10, 20, 200);
    assertViolatedBy(read(21, 22, 0));
  }

  @Test
  void readOfOlderRevisionIsViolation() {
    write(WRITE_A, 10, 0, 0);
    read(11, 13, 1, "a");
    assertViolatedBy(read(14, 16, 0));
  }

  @Test
  void twoContentsOfOneRevisionAreViolation() {
    write(WRITE_A, 10, 0, 0);
    write(WRITE_B, 10, 0, 0);
    read(11, 13, 1, "a");
    assertViolatedBy(show(Operation.Kind.ACTIVATION, 0, 20, 1, "b"));
  }

  @Test
  void modificationOfOtherContentThanItsBaseIsViolation() {
    write(WRITE_A, 10, 20, 200);
    write(WRITE_C, 21, 25, 200);
    assertViolatedBy(read(26, 27, 2, "c"));
  }

  @Test
  void readBeforeInvocationIsViolation() {
    assertViolatedBy(read(5, 6, 1, "a"));
    history.clear();
    Operation early = read(5, 6, 1, "a");
    write(WRITE_A, 10, 20, 200);
    assertViolatedBy(early);
  }

  /**
   * The algorithm of Wing and Gong without any optimization: an operation that no other one has
   * returned before takes effect first, and so on.
   */
  private static boolean hasLinearization(
      List<Operation> remaining,
      long revision,
      List<String> content,
      List<ConfigurationWrite> applied) {
    if (remaining.stream().allMatch(operation -> operation.returnedMicros == Operation.NEVER)) {
      return true;
    }
    for (Operation operation : remaining) {
      boolean mayBeFirst =
          remaining.stream().noneMatch(other -> other.returnedMicros < operation.invokedMicros);
      if (!mayBeFirst) {
        continue;
      }
      List<Operation> rest = new ArrayList<>(remaining);
      rest.remove(operation);
      if (takesEffect(operation, revision, applied)) {
        List<ConfigurationWrite> appliedNext = new ArrayList<>(applied);
        appliedNext.add(operation.write);
        if (hasLinearization(
            rest, operation.write.revision(), operation.write.contentAfter(content), appliedNext)) {
          return true;
        }
      } else if (changesNothing(operation, revision, content, applied)
          && hasLinearization(rest, revision, content, applied)) {
        return true;
      }
    }
    return false;
  }

  private static boolean takesEffect(
      Operation operation, long revision, List<ConfigurationWrite> applied) {
    return operation.kind == Operation.Kind.WRITE
        && operation.status != 412
        && operation.write.base() == revision
        && !applied.contains(operation.write);
  }

  /** Whether the operation returns what it does in this state and leaves the state as it is. */
  private static boolean changesNothing(
      Operation operation, long revision, List<String> content, List<ConfigurationWrite> applied) {
    if (operation.kind != Operation.Kind.WRITE) {
      return operation.revision == revision && operation.content.equals(content);
    }
    return switch (operation.status) {
      case 412 -> operation.write.base() != revision && !applied.contains(operation.write);
      case 200 -> applied.contains(operation.write);
      default -> false;
    };
  }

  @Test
  void agreesWithExhaustiveSearchOnSmallHistories() {
    Random random = new Random(5);
    int linearizable = 0;
    for (int i = 0; i < 30_000; i++) {
      generateHistory(random);

      boolean expected = hasLinearization(history, 0, List.of(), List.of());

      linearizable += expected ? 1 : 0;
      assertEquals(
          expected ? Verdict.LINEARIZABLE : Verdict.VIOLATED,
          new LinearizabilityChecker(history).verdict(),
          history::toString);
    }
    assertTrue(linearizable > 1_000 && linearizable < 29_000, "of both kinds: " + linearizable);
  }

  private void generateHistory(Random random) {
    history.clear();
    List<Long> times = new ArrayList<>();
    for (long time = 1; time <= 16; time++) {
      times.add(time);
    }
    for (int left = 2 + random.nextInt(6); left > 0; left--) {
      long first = times.remove(random.nextInt(times.size()));
      long second = times.remove(random.nextInt(times.size()));
      long invoked = Math.min(first, second);
      long returned = Math.max(first, second);
      if (random.nextInt(3) == 0) {
        ConfigurationWrite write = WRITES.get(random.nextInt(WRITES.size()));
        List<String> before =
            write.base() == 0 ? List.of() : List.of(random.nextBoolean() ? "a" : "b");
        read(
            invoked, returned, write.revision(), write.contentAfter(before).toArray(new String[0]));
      } else {
        int status = STATUSES.get(random.nextInt(STATUSES.size()));
        write(WRITES.get(random.nextInt(WRITES.size())), invoked, returned, status);
      }
    }
  }
}
