package org.otterpond.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;

/**
 * The directory of a log, and the syncs that make its entries durable. Syncing a file makes its
 * content durable; that the file exists, or has been removed, is durable only once its directory
 * has been synced. Until then a power loss may keep or lose each entry on its own.
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

  /** Creates the directory and its missing parents, and makes their entries durable. */
  void create() throws IOException {
    Deque<Path> missing = new ArrayDeque<>();
    Path ancestor = path.toAbsolutePath();
    while (ancestor != null && Files.notExists(ancestor)) {
      missing.push(ancestor);
      ancestor = ancestor.getParent();
    }
    Files.createDirectories(path);
    for (Path created : missing) {
      sync(created.getParent());
    }
  }

  /** Makes the entries durable as they are now. */
  void sync() throws IOException {
    sync(path);
  }

  private static void sync(Path directory) throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** Removes a file if it exists; the removal is not durable before the next sync. */
  void remove(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  /** Returns what follows the prefix in the names of all files that begin with it. */
  List<String> suffixes(String prefix) throws IOException {
    List<String> suffixes = new ArrayList<>();
    try (Stream<Path> files = Files.list(path)) {
      for (Path file : (Iterable<Path>) files::iterator) {
        String name = file.getFileName().toString();
        if (name.startsWith(prefix)) {
          suffixes.add(name.substring(prefix.length()));
        }
      }
    }
    return suffixes;
  }
}
