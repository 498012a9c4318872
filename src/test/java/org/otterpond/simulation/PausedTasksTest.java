package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PausedTasksTest {
  @Test
  void resumedProcessReadsEachConnectionInOrderAndSocketsApart() {
    for (long seed = 0; seed < 20; seed++) {
      boolean socketsFirst = seed % 2 == 0;
      PausedTasks tasks = new PausedTasks();
      StringBuilder order = new StringBuilder();
      for (String task : List.of("a1", "b1", "t1", "a2", "t2", "b2")) {
        String connection = task.startsWith("t") ? null : task.substring(0, 1);
        tasks.add(connection, () -> order.append(task));
      }

      tasks.takeByConnection(socketsFirst, new Random(seed)).forEach(Runnable::run);

      assertTrue(order.indexOf("a1") < order.indexOf("a2"));
      assertTrue(order.indexOf("b1") < order.indexOf("b2"));
      assertEquals(socketsFirst ? 8 : 0, order.indexOf("t1t2"), order::toString);
    }
  }
}
