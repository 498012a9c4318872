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

/** Reads, checks and changes the configuration. */
@Command(
    name = "config",
    description = "Reads, checks and changes the configuration.",
    mixinStandardHelpOptions = true)
final class ConfigCommand {
  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  @Command(
      name = "get",
      description = "Prints the newest configuration, whole.",
      mixinStandardHelpOptions = true)
  int get(@Mixin NodeOption at) throws ControlApiException, ConfigException {
    System.out.println(PRETTY.toJson(JsonFields.parse(at.open().get("/-/Configuration.Read"))));
    return 0;
  }

  @Command(
      name = "replace",
      description = "Puts a whole configuration in place of the current one.",
      mixinStandardHelpOptions = true)
  int replace(
      @Mixin NodeOption at,
      @Parameters(paramLabel = "FILE") Path file,
      @Option(
              names = "--base",
              required = true,
              paramLabel = "REVISION",
              description = "The revision it builds on; 0 for the first.")
          long base)
      throws ControlApiException, ConfigException {
    JsonObject whole = read(file);
    ConfigurationParser.read(whole);
    return send(at, "/-/Configuration.Replace", whole, base);
  }

  @Command(
      name = "modify",
      description = "Changes named items of the configuration.",
      mixinStandardHelpOptions = true)
  int modify(
      @Mixin NodeOption at,
      @Parameters(paramLabel = "FILE") Path file,
      @Option(
              names = "--base",
              required = true,
              paramLabel = "REVISION",
              description = "The revision it builds on.")
          long base)
      throws ControlApiException, ConfigException {
    return send(at, "/-/Configuration.Modify", read(file), base);
  }

  @Command(
      name = "validate",
      description = "Checks a whole configuration without sending it.",
      mixinStandardHelpOptions = true)
  int validate(@Parameters(paramLabel = "FILE") Path file) throws ConfigException {
    GatewayConfiguration c = ConfigurationParser.read(read(file));
    System.out.println(
        "valid: revision " + c.revision() + ", " + c.services().size() + " services");
    return 0;
  }

  private static JsonObject read(Path file) throws ConfigException {
    try {
      return JsonFields.parse(Files.readString(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new ConfigException(file + ": not readable");
    }
  }

  private static int send(NodeOption at, String path, JsonObject body, long base)
      throws ControlApiException {
    at.open().post(path, body.toString(), base);
    System.out.println("taken: revision " + body.get("revision"));
    return 0;
  }
}
