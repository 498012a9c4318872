package org.otterpond.cli;

import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.simulation.SimulateCommand;
import org.otterpond.soak.SoakCommand;
import org.otterpond.tools.SampleWorker;
import org.otterpond.tools.ScaleRun;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the program. */
@Command(
    name = "otterpond",
    mixinStandardHelpOptions = true,
    version = "otterpond 0.1.0",
    description =
        "An API gateway. 'otterpond node' runs a node with the settings file that OTTERPOND_CONFIG"
            + " names; 'otterpond self-test' runs a node on this machine and sends requests"
            + " through it. The commands below call running nodes or are tools.",
    footer = {
      "",
      "Exit codes: 0 success; 1 rejected or invalid; 2 wrong usage; 3 no definite answer, so a"
          + " change may or may not have been made: repeat the command."
    },
    subcommands = {
      ConfigCommand.class,
      StatusCommand.class,
      MessageCommand.class,
      RetireCommand.class,
      SampleWorker.class,
      ScaleRun.class,
      SoakCommand.class,
      SimulateCommand.class
    })
public final class OtterpondCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is required");
  }

  /**
   * Runs one command.
   *
   * @return the exit code
   */
  public static int execute(String... args) {
    return new CommandLine(new OtterpondCommand())
        .setExecutionExceptionHandler(
            (failure, commandLine, parsed) -> {
              if (failure instanceof ControlApiException e) {
                System.err.println("otterpond: " + e.getMessage());
                return e.exitCode();
              }
              if (failure instanceof ConfigException) {
                System.err.println("otterpond: invalid: " + failure.getMessage());
                return ControlApiException.REJECTED;
              }
              throw failure;
            })
        .execute(args);
  }
}
