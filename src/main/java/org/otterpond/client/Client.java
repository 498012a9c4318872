package org.otterpond.client;

import org.otterpond.chart.ChartException;
import org.otterpond.drill.ScaleRun;
import org.otterpond.drill.TrialWorker;
import org.otterpond.sim.SimulateCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The operators' command line. */
@Command(
    name = "otterpond",
    mixinStandardHelpOptions = true,
    version = "otterpond 0.1.0",
    description =
        "An API gateway of many nodes. 'node' runs one (its settings file is named by OTTERPOND_CONFIG),"
            + " 'rehearse' tries one alone on this machine; the commands below talk to running nodes.",
    footer = {"", "Exit codes: 0 done; 1 refused, or invalid; 2 wrong usage; 3 no clear answer."},
    subcommands = {
      ConfigCommand.class,
      StatusCommand.class,
      MessageCommand.class,
      RetireCommand.class,
      TrialWorker.class,
      ScaleRun.class,
      SimulateCommand.class
    })
public final class Client implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is wanted");
  }

  public static int execute(String... args) {
    return new CommandLine(new Client())
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              if (e instanceof ClientException c) {
                System.err.println("otterpond: " + c.getMessage());
                return c.code();
              }
              if (e instanceof ChartException) {
                System.err.println("otterpond: invalid: " + e.getMessage());
                return ClientException.REFUSED;
              }
              throw e;
            })
        .execute(args);
  }
}
