package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against error codes that callers meet and that no page explains. */
final class ErrorCodeTest {

    @Test
    void pageExplainsEachCodeWithItsStatus() throws IOException {
        Path page = Path.of(System.getProperty("basedir", "."), "..", "docs", "refusals.md");
        List<String> rows = Files.readAllLines(page);
        List<ErrorCode> missing = Arrays.stream(ErrorCode.values())
                .filter(code -> rows.stream()
                        .noneMatch(row -> row.startsWith("| `")
                                && row.contains("`" + code.label() + "`")
                                && row.contains(String.valueOf(code.status()))))
                .toList();
        assertEquals(List.of(), missing);
    }
}
