package org.otterpond.protocol;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;

/** Messages and stored data that the code of commit e87432b wrote; see the README beside them. */
public final class Fixtures {
  private static final Path FOLDER = Path.of("src/test/resources/fixtures/e87432b");

  private Fixtures() {}

  public static List<String> lines(String name) {
    try {
      return Files.readAllLines(FOLDER.resolve(name));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Copies a data directory, as opening one may truncate or add files. */
  public static Path copy(String name, Path into) {
    Path copy = into.resolve(name);
    try (Stream<Path> files = Files.list(FOLDER.resolve(name))) {
      Files.createDirectories(copy);
      for (Path file : (Iterable<Path>) files::iterator) {
        Files.copy(file, copy.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return copy;
  }
}
