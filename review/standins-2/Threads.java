import java.io.IOException;

/** Threads that end with the process. */
final class Threads {

    private Threads() {}

    /** Work that may fail because its connection ends. */
    interface Work {

        void run() throws IOException, InterruptedException;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side has closed its connection.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
