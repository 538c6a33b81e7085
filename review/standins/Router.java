import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router that runs as a separate process with the command of the deploy file and the settings template. */
final class Router {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String host;
    final int callerPort;
    final int readyPort;
    private final Path root;
    private final Path folder;
    private final Path settings;
    private final String command;
    private Process process;

    Router(Path root, Path folder, String name, String host, String storeAddress) throws IOException {
        this.root = root;
        this.folder = folder;
        this.host = host;
        this.settings = folder.resolve(name + ".json");
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        command = run.group(1);
        callerPort = freePort();
        readyPort = freePort();
        // The bounds are those of the page SYSTEM.md.
        String text = Files.readString(root.resolve("deploy/router.json"))
                .replace("{{NodeName}}", name)
                .replace("{{zone}}", "zone-a")
                .replace("{{Ip}}", host)
                .replace("{{Listen.Front}}", host + ":" + callerPort)
                .replace("{{Listen.Ready}}", host + ":" + readyPort)
                .replace("{{Listen.Directory}}", host + ":" + freePort())
                .replace("{{PortRange.0}}", Integer.toString(freePort()))
                .replace("{{Platform.Address}}", storeAddress)
                .replace("{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", "\"" + host + ":8785\"")
                .replace("{{Bootstrap}}", "true")
                .replace("{{Bounds.GraceS}}", "8")
                .replace("{{Bounds.RetryBudgetRatio}}", "0.2")
                .replace("{{Bounds.BudgetSlack}}", "54")
                .replace("{{Bounds.BudgetWindowS}}", "10")
                .replace("{{Bounds.ColdOvershoot}}", "1.5")
                .replace("{{Bounds.ColdSlack}}", "5");
        if (text.contains("{{")) {
            throw new IOException("the settings template has a field that this stand-in does not know");
        }
        Files.writeString(settings, text);
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(List.of(command.split(" ")))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(settings.getFileName() + ".log").toFile()));
        builder.environment().put(Wire.SETTINGS_VARIABLE, settings.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        Files.writeString(
                folder.resolve("pids"),
                process.pid() + "\n",
                java.nio.file.StandardOpenOption.CREATE,
                java.nio.file.StandardOpenOption.APPEND);
    }

    /** Waits until the router says that it is ready. */
    void awaitReady() throws IOException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!ready()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the router did not become ready");
            }
            Threads.sleep(100);
        }
    }

    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readyPort), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
            HttpMessage head = HttpMessage.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }
}
