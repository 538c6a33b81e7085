import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a case: what was sent, answered and run, with the time since its start. */
final class Record {

    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    synchronized void add(String line) {
        file.printf("%8.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    /** Adds the lines of the output of a process. */
    synchronized void addOutput(String name, Path output) {
        try {
            for (String line : Files.readAllLines(output)) {
                file.println("  " + name + ": " + line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
