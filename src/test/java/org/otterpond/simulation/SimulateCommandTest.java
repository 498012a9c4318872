package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class SimulateCommandTest {
  private final StringWriter output = new StringWriter();

  private int simulate(String... arguments) {
    return new CommandLine(new SimulateCommand())
        .setErr(new PrintWriter(new StringWriter()))
        .setOut(new PrintWriter(output))
        .execute(arguments);
  }

  @Test
  void exitCodeDistinguishesFailureFromUsageError() {
    assertEquals(0, simulate("--replay", SimulationFixture.schedule().line()));
    // Hardly anything passes such links, so at the end some nodes lack the newest revision.
    Schedule lowBandwidth = new Schedule(77, 5, 1, 4, 0, 1, 100, false, 5, List.of());
    assertEquals(1, simulate("--replay", lowBandwidth.line()));
    assertEquals(2, simulate("--kinds", "flood"));
    assertEquals(2, simulate("--core", "3", "--faults", "3"));
    assertEquals(2, simulate("--replay", "[]"));

    output.getBuffer().setLength(0);
    assertEquals(
        0,
        simulate("--seed", "8004", "--schedules", "1", "--seconds", "5", "--kinds", "cut,one-way"));
    assertTrue(
        output.toString().contains("verdict=passed") && output.toString().contains("failed=0"),
        output::toString);
  }
}
