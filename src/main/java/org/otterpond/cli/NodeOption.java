package org.otterpond.cli;

import java.util.List;
import org.otterpond.client.ControlApiClient;
import picocli.CommandLine.Option;

/** Where to call; shared by all commands that call. */
final class NodeOption {
  @Option(
      names = {"-n", "--node"},
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description = "Control points to call, tried in this order until one gives a clear answer.")
  private List<String> nodes;

  ControlApiClient open() {
    return new ControlApiClient(nodes);
  }
}
