package org.otterpond.client;

import java.util.List;
import picocli.CommandLine.Option;

/** Where to call; shared by all commands that call. */
final class Connection {
  @Option(
      names = {"-n", "--node"},
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description = "Control points to call, tried in this order until one gives a clear answer.")
  private List<String> nodes;

  ControlCall open() {
    return new ControlCall(nodes);
  }
}
