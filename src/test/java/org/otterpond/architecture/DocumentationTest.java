package org.otterpond.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Types that the pages name with their package exist. */
class DocumentationTest {
  private static final Pattern QUALIFIED_TYPE =
      Pattern.compile("`((?:[a-z]+\\.)+[A-Z]\\w*)(?:[.#][a-z]\\w*)?`");

  @ParameterizedTest
  @ValueSource(strings = {"docs/architecture.md", "docs/design.md", "CONTRIBUTING.md"})
  void givenPage_whenItNamesTypes_thenTheyExist(String page) throws IOException {
    List<String> unknown = new ArrayList<>();
    int found = 0;
    Matcher matcher = QUALIFIED_TYPE.matcher(Files.readString(Path.of(page)));
    while (matcher.find()) {
      found++;
      String source = "java/org/otterpond/" + matcher.group(1).replace('.', '/') + ".java";
      if (!Files.exists(Path.of("src/main", source))
          && !Files.exists(Path.of("src/test", source))) {
        unknown.add(matcher.group(1));
      }
    }
    assertTrue(found > 0, "the page names types");
    assertEquals(List.of(), unknown);
  }
}
