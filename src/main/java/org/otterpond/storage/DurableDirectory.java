package org.otterpond.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The folder of a journal, and what makes its names last. A sync of a file keeps what stands in it;
 * that the file is there, or is gone, is kept by a sync of its folder only, and until then each
 * name may come or go by itself.
 */
class DurableDirectory {
  private final Path path;

  DurableDirectory(Path path) {
    this.path = path;
  }

  Path path() {
    return path;
  }

  Path file(String name) {
    return path.resolve(name);
  }

  /**
   * Makes the folder where there is none, and each folder above it that is missing, in a way that
   * lasts.
   */
  void make() throws IOException {
    Deque<Path> missing = new ArrayDeque<>();
    for (Path p = path.toAbsolutePath(); p != null && Files.notExists(p); p = p.getParent()) {
      missing.push(p);
    }
    Files.createDirectories(path);
    for (Path made : missing) {
      sync(made.getParent());
    }
  }

  /** From here on the names in the folder are as they are now, whatever becomes of the power. */
  void sync() throws IOException {
    sync(path);
  }

  private static void sync(Path folder) throws IOException {
    try (FileChannel c = FileChannel.open(folder, StandardOpenOption.READ)) {
      c.force(true);
    }
  }

  void remove(Path file) throws IOException {
    Files.deleteIfExists(file);
  }
}
