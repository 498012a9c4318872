package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.simulation.LinearizabilityChecker.Verdict;

/**
 * The history's check itself: on histories made by hand, and against one that tries every order of
 * small ones.
 */
class LinearizabilityCheckerTest {
  private static final ConfigurationWrite A = ConfigurationWrite.replace(0, 1, "a", "");
  private static final ConfigurationWrite B = ConfigurationWrite.replace(0, 1, "b", "");
  private static final ConfigurationWrite C = ConfigurationWrite.modify(1, 2, "c");
  private static final ConfigurationWrite D = ConfigurationWrite.replace(1, 3, "d", "");

  private final List<Operation> calls = new ArrayList<>();

  private Operation write(ConfigurationWrite o, long from, long to, int status) {
    Operation w = new Operation(Operation.Kind.WRITE, "n", o, from);
    w.returnedMicros = status == 0 ? Operation.NEVER : to;
    w.status = status;
    calls.add(w);
    return w;
  }

  private Operation shows(
      Operation.Kind kind, long from, long to, long revision, String... content) {
    Operation r = new Operation(kind, "n", null, from);
    r.returnedMicros = to;
    r.revision = revision;
    r.content = List.of(content);
    calls.add(r);
    return r;
  }

  private Operation read(long from, long to, long revision, String... content) {
    return shows(Operation.Kind.READ, from, to, revision, content);
  }

  private void explained() {
    assertEquals(Verdict.LINEARIZABLE, new LinearizabilityChecker(calls).verdict());
  }

  private void violated(Operation culprit) {
    LinearizabilityChecker c = new LinearizabilityChecker(calls);
    assertEquals(Verdict.VIOLATED, c.verdict());
    assertSame(culprit, c.firstViolation());
    assertTrue(c.explain().contains(culprit.toString()));
  }

  @Test
  void oneOfARaceIsTakenAndItsRepetitionIsConfirmed() {
    write(A, 10, 20, 200);
    write(B, 11, 21, 412);
    read(22, 23, 1, "a");
    write(C, 24, 0, 0);
    write(D, 25, 30, 412);
    read(31, 32, 2, "a", "c");
    write(C, 40, 41, 200);
    write(A, 42, 43, 200);
    explained();
  }

  @Test
  void orderWithoutAnswerMayTakeEffectLateOrNever() {
    write(A, 10, 0, 0);
    write(B, 11, 0, 0);
    read(12, 13, 0);
    read(50, 51, 1, "b");
    write(D, 60, 0, 0);
    read(70, 71, 1, "b");
    explained();
  }

  @Test
  void refusalMayStandForAnUnansweredOrderThatNobodySaw() {
    write(A, 10, 20, 200);
    write(D, 21, 0, 0);
    write(C, 30, 31, 412);
    explained();
  }

  @Test
  void twoConfirmedOnOneBase() {
    write(A, 10, 20, 200);
    violated(write(B, 11, 21, 200));
  }

  @Test
  void refusedAfterItWasConfirmed() {
    write(A, 10, 20, 200);
    write(D, 21, 22, 200);
    violated(write(A, 23, 24, 412));
  }

  @Test
  void refusedAfterARead() {
    write(A, 10, 0, 0);
    read(12, 13, 1, "a");
    violated(write(A, 23, 24, 412));
  }

  @Test
  void refusedByOldState() {
    write(A, 10, 20, 200);
    violated(write(C, 23, 24, 412));
  }

  @Test
  void refusedForNoCause() {
    violated(write(A, 10, 20, 400));
  }

  @Test
  void confirmedAndForgotten() {
    write(A, 10, 20, 200);
    violated(read(21, 22, 0));
  }

  @Test
  void readGoesBack() {
    write(A, 10, 0, 0);
    read(11, 13, 1, "a");
    violated(read(14, 16, 0));
  }

  @Test
  void twoContentsUnderOneRevision() {
    write(A, 10, 0, 0);
    write(B, 10, 0, 0);
    read(11, 13, 1, "a");
    violated(shows(Operation.Kind.ACTIVATION, 0, 20, 1, "b"));
  }

  @Test
  void changeOnAnotherContentThanItsBase() {
    write(A, 10, 20, 200);
    write(C, 21, 25, 200);
    violated(read(26, 27, 2, "c"));
  }

  @Test
  void shownBeforeItWasSent() {
    violated(read(5, 6, 1, "a"));
    calls.clear();
    Operation early = read(5, 6, 1, "a");
    write(A, 10, 20, 200);
    violated(early);
  }

  /** As Wing and Gong: one of the calls that no other has returned before goes first, and so on. */
  private static boolean someOrder(
      List<Operation> left, long revision, List<String> content, List<ConfigurationWrite> taken) {
    if (left.stream().allMatch(o -> o.returnedMicros == Operation.NEVER)) {
      return true;
    }
    for (Operation o : left) {
      if (left.stream().anyMatch(p -> p.returnedMicros < o.invokedMicros)) {
        continue;
      }
      List<Operation> rest = new ArrayList<>(left);
      rest.remove(o);
      boolean fits =
          o.kind == Operation.Kind.WRITE && o.write.base() == revision && !taken.contains(o.write);
      if (o.kind != Operation.Kind.WRITE) {
        if (o.revision == revision
            && o.content.equals(content)
            && someOrder(rest, revision, content, taken)) {
          return true;
        }
      } else if (o.status == 412) {
        if (o.write.base() != revision
            && !taken.contains(o.write)
            && someOrder(rest, revision, content, taken)) {
          return true;
        }
      } else if (fits) {
        List<ConfigurationWrite> more = new ArrayList<>(taken);
        more.add(o.write);
        if (someOrder(rest, o.write.revision(), o.write.contentAfter(content), more)) {
          return true;
        }
      } else if (o.status == 200
          && taken.contains(o.write)
          && someOrder(rest, revision, content, taken)) {
        return true;
      }
    }
    return false;
  }

  @Test
  void agreesWithTryingEveryOrderOfSmallHistories() {
    Random r = new Random(5);
    List<ConfigurationWrite> orders =
        List.of(
            A,
            B,
            C,
            D,
            ConfigurationWrite.replace(2, 3, "e", ""),
            ConfigurationWrite.modify(3, 4, "f"));
    int sound = 0;
    for (int i = 0; i < 30_000; i++) {
      calls.clear();
      List<Long> moments = new ArrayList<>();
      for (long t = 1; t <= 16; t++) {
        moments.add(t);
      }
      for (int n = 2 + r.nextInt(6); n > 0; n--) {
        long a = moments.remove(r.nextInt(moments.size()));
        long b = moments.remove(r.nextInt(moments.size()));
        if (r.nextInt(3) == 0) {
          ConfigurationWrite o = orders.get(r.nextInt(orders.size()));
          List<String> before = o.base() == 0 ? List.of() : List.of(r.nextBoolean() ? "a" : "b");
          read(
              Math.min(a, b),
              Math.max(a, b),
              o.revision(),
              o.contentAfter(before).toArray(new String[0]));
        } else {
          int status = new int[] {0, 200, 200, 412}[r.nextInt(4)];
          write(orders.get(r.nextInt(orders.size())), Math.min(a, b), Math.max(a, b), status);
        }
      }
      boolean expected = someOrder(calls, 0, List.of(), List.of());
      sound += expected ? 1 : 0;
      assertEquals(
          expected ? Verdict.LINEARIZABLE : Verdict.VIOLATED,
          new LinearizabilityChecker(calls).verdict(),
          calls::toString);
    }
    assertTrue(sound > 1_000 && sound < 29_000, "of both sorts: " + sound);
  }
}
