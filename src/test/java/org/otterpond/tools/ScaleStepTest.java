package org.otterpond.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class ScaleStepTest {
  @Test
  void rowHasTheRatesOfTheMeasuredTime() {
    LoadTotals before = new LoadTotals(10, 1_000, 1, 500, 1, 500, 5);
    LoadTotals after = new LoadTotals(410, 41_000, 21, 40_500, 11, 30_500, 25);

    ScaleStep step =
        new ScaleStep(10, 30, 2, after.minus(before), List.of(0.1, 0.02, 0.04), 50, 12_000);

    assertEquals(
        "10 30 10 5.00 1.50 50 20.00 2000 12 10 2.00 5 3.00",
        step.row().trim().replaceAll(" +", " "));
  }

  @Test
  void singleCoreNodeHasNoOthers() {
    ScaleStep step = new ScaleStep(1, 0, 1, LoadTotals.ZERO, List.of(0.5), 0, 0);

    List<String> columns = List.of(step.row().trim().split(" +"));
    assertEquals("50.00", columns.get(3));
    assertEquals("0.00", columns.get(4));
    assertEquals("0.00", columns.get(10), "mean without a lock");
  }
}
