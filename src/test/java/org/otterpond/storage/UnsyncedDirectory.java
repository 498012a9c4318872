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
 * A directory of which a power loss may keep or lose each entry added or removed since the last
 * sync on its own.
 */
final class UnsyncedDirectory extends DurableDirectory {
  /** Whether syncs are rejected. */
  boolean failing;

  private final Map<String, byte[]> removed = new HashMap<>();
  private Set<String> durable = new TreeSet<>();

  UnsyncedDirectory(Path path) {
    super(path);
  }

  @Override
  void sync() throws IOException {
    if (failing) {
      throw new IOException("refused");
    }
    super.sync();
    removed.clear();
    durable = names();
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
          .map(file -> file.getFileName().toString())
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  /** Creates a copy for each state in which a power loss now may leave the directory. */
  List<Path> statesAfterPowerLoss(Path parent) throws IOException {
    Set<String> present = names();
    List<String> uncertain = new ArrayList<>(removed.keySet());
    present.stream().filter(name -> !durable.contains(name)).forEach(uncertain::add);
    List<Path> states = new ArrayList<>();
    for (int kept = 0; kept < 1 << uncertain.size(); kept++) {
      Path state = Files.createTempDirectory(parent, "power");
      for (String name : present) {
        if (!uncertain.contains(name)) {
          Files.copy(path().resolve(name), state.resolve(name));
        }
      }
      for (int i = 0; i < uncertain.size(); i++) {
        String name = uncertain.get(i);
        if ((kept & 1 << i) != 0) {
          Files.write(state.resolve(name), content(name, present));
        }
      }
      states.add(state);
    }
    return states;
  }

  private byte[] content(String name, Set<String> present) throws IOException {
    return present.contains(name) ? Files.readAllBytes(path().resolve(name)) : removed.get(name);
  }
}
