/** Starts daemon threads whose work may fail with a checked exception. */
final class Threads {

    private Threads() {}

    /** Work that may fail; a connection that ends is the usual reason. */
    @FunctionalInterface
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (java.io.IOException e) {
                        // The other side has closed the connection.
                        return;
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
