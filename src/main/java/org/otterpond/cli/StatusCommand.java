package org.otterpond.cli;

import java.util.concurrent.Callable;
import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the state of the core and of the fleet. */
@Command(
    name = "status",
    description =
        "Prints the primary and the core, totals of nodes and workers by zone, and the nodes that"
            + " lag and workers that are leaving.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {
  @Mixin private NodeOption node;

  @Option(names = "--all", description = "List every node and every worker.")
  private boolean all;

  @Option(names = "--json", description = "Print the answer of the node as JSON.")
  private boolean json;

  @Override
  public Integer call() throws ControlApiException, ConfigException {
    String text = node.client().get("/-/status");
    if (json) {
      System.out.println(text);
    } else {
      StatusReport.of(JsonFields.parse(text), all).forEach(System.out::println);
    }
    return 0;
  }
}
