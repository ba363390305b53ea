package dev.foxtailshed.daemon.internal.events;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that docs/EVENTS.md lists the events of {@link EventCode}. */
class EventCatalogueTest {

    @Test
    void pageListsEveryEventAndNoOther() throws IOException {
        List<String> page =
                Files.readAllLines(Path.of("..", "docs", "EVENTS.md")).stream()
                        .filter(line -> line.startsWith("| E"))
                        .toList();
        assertThat(page).containsExactlyElementsOf(rows());
    }

    @Test
    void everyEventIsUsedInTheSources() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src", "main", "java"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                sources.append(Files.readString(file));
            }
        }
        assertThat(EventCode.values())
                .allMatch(code -> sources.indexOf("EventCode." + code.name()) >= 0);
    }

    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(EventCode.values()).map(EventCode::number))
                .doesNotHaveDuplicates();
    }

    private static List<String> rows() {
        return Arrays.stream(EventCode.values())
                .map(
                        code ->
                                String.format(
                                        "| E%d | %s | %s | %s |",
                                        code.number(), code.name(), code.level(), code.meaning()))
                .toList();
    }
}
