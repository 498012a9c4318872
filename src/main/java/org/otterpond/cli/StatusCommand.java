package org.otterpond.cli;

import java.util.concurrent.Callable;
import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints who leads, how the fleet stands zone by zone, and what lags. */
@Command(
    name = "status",
    description =
        "Prints who leads, the nodes and workers of each zone, and what lags behind or "
            + "is leaving.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {
  @Mixin private NodeOption at;

  @Option(names = "--all", description = "Lists every node and every worker.")
  private boolean all;

  @Option(names = "--json", description = "Prints the answer as it came.")
  private boolean json;

  @Override
  public Integer call() throws ControlApiException, ConfigException {
    String text = at.open().get("/-/status");
    if (json) {
      System.out.println(text);
    } else {
      StatusReport.of(JsonFields.parse(text), all).forEach(System.out::println);
    }
    return 0;
  }
}
