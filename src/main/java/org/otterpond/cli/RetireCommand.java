package org.otterpond.cli;

import com.google.gson.JsonObject;
import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Empties a storage machine, so that it can be taken away. */
@Command(
    name = "retire",
    description = "Empties a storage machine, so that it can be taken away with its disk.",
    mixinStandardHelpOptions = true)
final class RetireCommand {
  @Command(
      name = "begin",
      description = "Has all partitions moved off the machine.",
      mixinStandardHelpOptions = true)
  int begin(
      @Mixin NodeOption at,
      @Parameters(paramLabel = "MACHINE") String machine,
      @Option(
              names = "--deadline",
              paramLabel = "SECONDS",
              defaultValue = "60",
              description = "Within how long it is wanted; 60 if left out.")
          double deadline)
      throws ControlApiException {
    JsonObject o = new JsonObject();
    o.addProperty("deadline_s", deadline);
    at.open().post("/-/Retire.Begin/" + machine, o.toString());
    System.out.println("begun: " + machine);
    return 0;
  }

  @Command(
      name = "status",
      description = "Says whether the machine is empty: in_progress or completed.",
      mixinStandardHelpOptions = true)
  int status(@Mixin NodeOption at, @Parameters(paramLabel = "MACHINE") String machine)
      throws ControlApiException, ConfigException {
    System.out.println(
        JsonFields.of(JsonFields.parse(at.open().get("/-/Retire.Read/" + machine)), "")
            .text("state"));
    return 0;
  }
}
