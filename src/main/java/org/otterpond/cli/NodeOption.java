package org.otterpond.cli;

import java.util.List;
import org.otterpond.client.ControlApiClient;
import picocli.CommandLine.Option;

/** The option of all commands that call nodes: which ones. */
final class NodeOption {
  @Option(
      names = {"-n", "--node"},
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description =
          "Control points of one or more nodes; they are tried in this order until one gives a"
              + " definite answer.")
  private List<String> nodes;

  ControlApiClient client() {
    return new ControlApiClient(nodes);
  }
}
