package org.otterpond.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The folder of one soak. */
final class SoakFolder {
  private SoakFolder() {}

  /** Removes a folder with all that is in it, if it is there. */
  static void clear(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    List<Path> deepestFirst;
    try (Stream<Path> found = Files.walk(folder)) {
      deepestFirst = found.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path path : deepestFirst) {
      Files.deleteIfExists(path);
    }
  }
}
