package org.otterpond.cli;

import java.util.HashMap;
import java.util.Map;
import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Inspects an accepted message, at a node's front point and with an access key of its tenant. */
@Command(
    name = "message",
    description =
        "Inspects an accepted message. --node names the front point of a node, not its control"
            + " point.",
    mixinStandardHelpOptions = true)
final class MessageCommand {
  @Command(
      name = "state",
      description = "Prints queued, dead_letter, or completed with the worker's timestamp.",
      mixinStandardHelpOptions = true)
  int state(
      @Mixin NodeOption node,
      @Parameters(paramLabel = "ID", description = "The message's identifier.") String id,
      @Mixin MessageOwner owner)
      throws ControlApiException, ConfigException {
    String text = node.client().get("/-/message/" + id, owner.headers());
    JsonFields message = JsonFields.of(JsonFields.parse(text), "");
    String timestamp = message.has("timestamp") ? " " + message.text("timestamp") : "";
    System.out.println(message.text("state") + timestamp);
    return 0;
  }

  @Command(
      name = "body",
      description = "Prints the body of a message that is queued or a dead letter.",
      mixinStandardHelpOptions = true)
  int body(
      @Mixin NodeOption node,
      @Parameters(paramLabel = "ID", description = "The message's identifier.") String id,
      @Mixin MessageOwner owner)
      throws ControlApiException {
    System.out.print(node.client().get("/-/message-body/" + id, owner.headers()));
    return 0;
  }

  /** Options that name the host and the tenant of a message. */
  static final class MessageOwner {
    @Option(
        names = "--host",
        required = true,
        paramLabel = "HOST",
        description = "The host that the message was sent to.")
    private String host;

    @Option(
        names = "--key",
        paramLabel = "KEY",
        description = "An access key of the tenant; required if the configuration has tenants.")
    private String key;

    Map<String, String> headers() {
      Map<String, String> headers = new HashMap<>();
      headers.put("Host", host);
      if (key != null) {
        headers.put("Authorization", "Bearer " + key);
      }
      return headers;
    }
  }
}
