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

/** Asks for a message that was accepted; at a front point, with a key of its tenant. */
@Command(
    name = "message",
    description = "Asks for a message that was accepted. The node is named by its front point.",
    mixinStandardHelpOptions = true)
final class MessageCommand {
  @Command(
      name = "state",
      description = "Prints queued, completed (with the run's stamp) or dead_letter.",
      mixinStandardHelpOptions = true)
  int state(@Mixin NodeOption at, @Parameters(paramLabel = "ID") String id, @Mixin Whose whose)
      throws ControlApiException, ConfigException {
    JsonFields f =
        JsonFields.of(JsonFields.parse(at.open().get("/-/message/" + id, whose.headers())), "");
    System.out.println(f.text("state") + (f.has("timestamp") ? " " + f.text("timestamp") : ""));
    return 0;
  }

  @Command(
      name = "body",
      description = "Prints the bytes of a message that is queued or dead.",
      mixinStandardHelpOptions = true)
  int body(@Mixin NodeOption at, @Parameters(paramLabel = "ID") String id, @Mixin Whose whose)
      throws ControlApiException {
    System.out.print(at.open().get("/-/message-body/" + id, whose.headers()));
    return 0;
  }

  /** Whose message it is. */
  static final class Whose {
    @Option(
        names = "--host",
        required = true,
        paramLabel = "HOST",
        description = "The host it was sent to.")
    private String host;

    @Option(
        names = "--key",
        paramLabel = "KEY",
        description = "An access key of its tenant, where there are any.")
    private String key;

    Map<String, String> headers() {
      Map<String, String> out = new HashMap<>();
      out.put("Host", host);
      if (key != null) {
        out.put("Authorization", "Bearer " + key);
      }
      return out;
    }
  }
}
