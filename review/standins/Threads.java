import java.io.IOException;

/** Starts daemon threads whose connections may end at any time. */
final class Threads {

    interface Task {
        void run() throws IOException;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The peer ended the connection; the case judges what callers saw.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
