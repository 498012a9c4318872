package org.otterpond.cli;

import com.google.gson.JsonObject;
import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Moves all message partitions off a storage machine. */
@Command(
    name = "retire",
    description =
        "Moves all message partitions off a storage machine, so that it can be removed with its"
            + " disk.",
    mixinStandardHelpOptions = true)
final class RetireCommand {
  @Command(
      name = "begin",
      description = "Starts moving the partitions.",
      mixinStandardHelpOptions = true)
  int begin(
      @Mixin NodeOption node,
      @Parameters(paramLabel = "MACHINE", description = "The machine's node name.") String machine,
      @Option(
              names = "--deadline",
              paramLabel = "SECONDS",
              defaultValue = "60",
              description = "Target time to finish, in seconds; default ${DEFAULT-VALUE}.")
          double deadline)
      throws ControlApiException {
    JsonObject request = new JsonObject();
    request.addProperty("deadline_s", deadline);
    node.client().post("/-/Retire.Begin/" + machine, request.toString());
    System.out.println("begun: " + machine);
    return 0;
  }

  @Command(
      name = "status",
      description = "Prints in_progress, or completed once the machine can be removed.",
      mixinStandardHelpOptions = true)
  int status(
      @Mixin NodeOption node,
      @Parameters(paramLabel = "MACHINE", description = "The machine's node name.") String machine)
      throws ControlApiException, ConfigException {
    String text = node.client().get("/-/Retire.Read/" + machine);
    System.out.println(JsonFields.of(JsonFields.parse(text), "").text("state"));
    return 0;
  }
}
