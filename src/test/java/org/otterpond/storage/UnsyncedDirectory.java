package org.otterpond.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A folder whose names since the last sync may each be kept or lost by themselves when power is
 * lost.
 */
final class UnsyncedDirectory extends DurableDirectory {
  boolean failing;
  int syncs;
  private final Map<String, byte[]> removed = new HashMap<>();
  private Set<String> lasting = new TreeSet<>();

  UnsyncedDirectory(Path path) {
    super(path);
  }

  @Override
  void sync() throws IOException {
    if (failing) {
      throw new IOException("refused");
    }
    super.sync();
    syncs++;
    removed.clear();
    lasting = names();
  }

  @Override
  void remove(Path file) throws IOException {
    if (Files.exists(file)) {
      removed.put(file.getFileName().toString(), Files.readAllBytes(file));
    }
    super.remove(file);
  }

  private Set<String> names() throws IOException {
    try (Stream<Path> files = Files.list(path())) {
      return files
          .map(p -> p.getFileName().toString())
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  /** Every folder that a loss of power now may leave. */
  List<Path> afterLossesOfPower(Path under) throws IOException {
    List<String> doubtful = new ArrayList<>(removed.keySet());
    Set<String> now = names();
    now.stream().filter(n -> !lasting.contains(n)).forEach(doubtful::add);
    List<Path> out = new ArrayList<>();
    for (int kept = 0; kept < 1 << doubtful.size(); kept++) {
      Path to = Files.createTempDirectory(under, "power");
      for (String n : now) {
        if (!doubtful.contains(n)) {
          Files.copy(path().resolve(n), to.resolve(n));
        }
      }
      for (int i = 0; i < doubtful.size(); i++) {
        String n = doubtful.get(i);
        if ((kept & 1 << i) != 0) {
          Files.write(
              to.resolve(n),
              now.contains(n) ? Files.readAllBytes(path().resolve(n)) : removed.get(n));
        }
      }
      out.add(to);
    }
    return out;
  }
}
