package org.otterpond.protocol;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * Reads the messages and the stored data that earlier code wrote, that of commit e87432b unless a
 * commit is named; the README.txt beside them says how.
 */
public final class Fixtures {
  private static final Path FIXTURES = Path.of("src/test/resources/fixtures");
  private static final String COMMIT = "e87432b";
  private static final Path DIRECTORY = FIXTURES.resolve(COMMIT);

  private Fixtures() {}

  /** Returns the lines of a text file. */
  public static List<String> lines(String name) {
    try {
      return Files.readAllLines(DIRECTORY.resolve(name));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Copies a data directory, as opening one may truncate or add files.
   *
   * @return the copy, which is a subdirectory of {@code parent}
   */
  public static Path copy(String name, Path parent) {
    return copy(COMMIT, name, parent);
  }

  /** Copies a data directory that the code of the given commit wrote. */
  public static Path copy(String commit, String name, Path parent) {
    Path copy = parent.resolve(name);
    try (Stream<Path> files = Files.list(FIXTURES.resolve(commit).resolve(name))) {
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
