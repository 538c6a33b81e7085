import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in order, with milliseconds since the start; written to {@code record.txt}. */
final class Journal {

    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    Journal(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void write(String who, String what) {
        writer.printf("%7d ms  %-8s %s%n", (System.nanoTime() - startNanos) / 1_000_000, who, what);
    }
}
