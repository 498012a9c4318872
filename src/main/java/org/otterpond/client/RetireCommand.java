package org.otterpond.client;

import com.google.gson.JsonObject;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.Fields;
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
      @Mixin Connection at,
      @Parameters(paramLabel = "MACHINE") String machine,
      @Option(
              names = "--deadline",
              paramLabel = "SECONDS",
              defaultValue = "60",
              description = "Within how long it is wanted; 60 if left out.")
          double deadline)
      throws ClientException {
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
  int status(@Mixin Connection at, @Parameters(paramLabel = "MACHINE") String machine)
      throws ClientException, ChartException {
    System.out.println(
        Fields.of(Fields.parse(at.open().get("/-/Retire.Read/" + machine)), "").text("state"));
    return 0;
  }
}
