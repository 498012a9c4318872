package org.otterpond.cli;

import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.simulation.SimulateCommand;
import org.otterpond.tools.SampleWorker;
import org.otterpond.tools.ScaleRun;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The operators' command line. */
@Command(
    name = "otterpond",
    mixinStandardHelpOptions = true,
    version = "otterpond 0.1.0",
    description =
        "An API gateway of many nodes. 'node' runs one (its settings file is named by OTTERPOND_CONFIG),"
            + " 'self-test' tries one alone on this machine; the commands below talk to running nodes.",
    footer = {"", "Exit codes: 0 done; 1 refused, or invalid; 2 wrong usage; 3 no clear answer."},
    subcommands = {
      ConfigCommand.class,
      StatusCommand.class,
      MessageCommand.class,
      RetireCommand.class,
      SampleWorker.class,
      ScaleRun.class,
      SimulateCommand.class
    })
public final class OtterpondCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is wanted");
  }

  public static int execute(String... args) {
    return new CommandLine(new OtterpondCommand())
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              if (e instanceof ControlApiException c) {
                System.err.println("otterpond: " + c.getMessage());
                return c.code();
              }
              if (e instanceof ConfigException) {
                System.err.println("otterpond: invalid: " + e.getMessage());
                return ControlApiException.REFUSED;
              }
              throw e;
            })
        .execute(args);
  }
}
