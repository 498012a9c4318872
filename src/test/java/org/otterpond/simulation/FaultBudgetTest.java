package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FaultBudgetTest {
  @Test
  void budgetLimitsConcurrentFaults() {
    FaultBudget budget = new FaultBudget(1);
    assertTrue(budget.tryReserve("a", 0, 1_000_000));

    assertTrue(budget.tryReserve("a", 500_000, 1_000_000), "the same machine again");
    assertFalse(budget.tryReserve("b", 5_400_000, 1), "the first machine still recovers");
    assertTrue(budget.tryReserve("b", 5_500_000, 1), "the first machine has recovered");

    budget.allLostPower(6_000_000);
    assertFalse(budget.tryReserve("c", 9_900_000, 1), "the recovery has begun again");
    assertTrue(budget.tryReserve("c", 10_000_000, 1));
  }
}
