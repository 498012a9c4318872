package org.otterpond.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.otterpond.client.ControlApiException;
import org.otterpond.config.ConfigException;
import org.otterpond.config.ConfigurationParser;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.JsonFields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Reads, checks and changes the gateway configuration. */
@Command(
    name = "config",
    description = "Reads, checks and changes the gateway configuration.",
    mixinStandardHelpOptions = true)
final class ConfigCommand {
  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  @Command(
      name = "get",
      description = "Prints the newest configuration as JSON.",
      mixinStandardHelpOptions = true)
  int get(@Mixin NodeOption node) throws ControlApiException, ConfigException {
    String text = node.client().get("/-/Configuration.Read");
    System.out.println(PRETTY.toJson(JsonFields.parse(text)));
    return 0;
  }

  @Command(
      name = "replace",
      description = "Replaces the whole configuration.",
      mixinStandardHelpOptions = true)
  int replace(
      @Mixin NodeOption node,
      @Parameters(paramLabel = "FILE", description = "The complete new configuration, as JSON.")
          Path file,
      @Option(
              names = "--base",
              required = true,
              paramLabel = "REVISION",
              description =
                  "The revision that the file was made from; 0 for the first. Rejected if it is no"
                      + " longer the current one.")
          long base)
      throws ControlApiException, ConfigException {
    JsonObject configuration = read(file);
    ConfigurationParser.read(configuration);
    return send(node, "/-/Configuration.Replace", configuration, base);
  }

  @Command(
      name = "modify",
      description = "Changes named items of the configuration.",
      mixinStandardHelpOptions = true)
  int modify(
      @Mixin NodeOption node,
      @Parameters(paramLabel = "FILE", description = "The items to change, as JSON.") Path file,
      @Option(
              names = "--base",
              required = true,
              paramLabel = "REVISION",
              description =
                  "The revision that the file was made from. Rejected if it is no longer the"
                      + " current one.")
          long base)
      throws ControlApiException, ConfigException {
    return send(node, "/-/Configuration.Modify", read(file), base);
  }

  @Command(
      name = "validate",
      description = "Checks a complete configuration without sending it.",
      mixinStandardHelpOptions = true)
  int validate(
      @Parameters(paramLabel = "FILE", description = "The complete configuration, as JSON.")
          Path file)
      throws ConfigException {
    GatewayConfiguration configuration = ConfigurationParser.read(read(file));
    System.out.println(
        "valid: revision "
            + configuration.revision()
            + ", "
            + configuration.services().size()
            + " services");
    return 0;
  }

  private static JsonObject read(Path file) throws ConfigException {
    try {
      return JsonFields.parse(Files.readString(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read: " + e.getMessage());
    }
  }

  private static int send(NodeOption node, String path, JsonObject body, long base)
      throws ControlApiException {
    node.client().post(path, body.toString(), base);
    System.out.println("taken: revision " + body.get("revision"));
    return 0;
  }
}
