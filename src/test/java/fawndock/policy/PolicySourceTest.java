package fawndock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.LineMap;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.util.DocTrees;
import com.sun.source.util.JavacTask;
import com.sun.source.util.SourcePositions;
import com.sun.source.util.TreePath;
import com.sun.source.util.TreePathScanner;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;

/**
 * Checks that each source file of the policy is short enough to be read in one go and has a class
 * comment.
 */
class PolicySourceTest {
  private static final int MAX_FILE_LINES = 250;
  private static final int MAX_BODY_LINES = 30;
  private static final int MAX_LINE_LENGTH = 100;

  @Test
  void files_areAtMost250LinesOfAtMost100Characters() throws IOException {
    List<String> tooLong = new ArrayList<>();
    for (Path file : sources()) {
      List<String> lines = Files.readAllLines(file);
      if (lines.size() > MAX_FILE_LINES) {
        tooLong.add(file + ": " + lines.size() + " lines");
      }
      if (lines.stream().anyMatch(line -> line.length() > MAX_LINE_LENGTH)) {
        tooLong.add(file + ": a line of more than " + MAX_LINE_LENGTH + " characters");
      }
    }
    assertEquals(List.of(), tooLong);
  }

  @Test
  void functionBodies_areAtMost30Lines() throws IOException {
    List<String> tooLong = new ArrayList<>();
    scan(
        (unit, trees, path) -> {
          if (path.getLeaf() instanceof MethodTree method && method.getBody() != null) {
            SourcePositions positions = trees.getSourcePositions();
            LineMap lines = unit.getLineMap();
            long firstLine =
                lines.getLineNumber(positions.getStartPosition(unit, method.getBody()));
            long lastLine = lines.getLineNumber(positions.getEndPosition(unit, method.getBody()));
            if (lastLine - firstLine + 1 > MAX_BODY_LINES) {
              tooLong.add(unit.getSourceFile().getName() + ": " + method.getName());
            }
          }
        });
    assertEquals(List.of(), tooLong);
  }

  @Test
  void files_haveAClassComment() throws IOException {
    List<String> withoutComment = new ArrayList<>();
    scan(
        (unit, trees, path) -> {
          boolean isTopLevel =
              path.getParentPath() != null && path.getParentPath().getLeaf() == unit;
          if (path.getLeaf() instanceof ClassTree
              && isTopLevel
              && trees.getDocComment(path) == null) {
            withoutComment.add(unit.getSourceFile().getName());
          }
        });
    assertEquals(List.of(), withoutComment);
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java/fawndock/policy"))) {
      List<Path> sources =
          files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
      assertTrue(sources.size() > 60, sources.size() + " files read");
      return sources;
    }
  }

  /** Visits each node of the syntax tree of a source file. */
  private interface Visitor {
    void visit(CompilationUnitTree unit, DocTrees trees, TreePath path);
  }

  private static void scan(Visitor visitor) throws IOException {
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    try (StandardJavaFileManager manager = compiler.getStandardFileManager(null, null, null)) {
      JavacTask task =
          (JavacTask)
              compiler.getTask(
                  null,
                  manager,
                  null,
                  List.of("-proc:none"),
                  null,
                  manager.getJavaFileObjectsFromPaths(sources()));
      DocTrees trees = DocTrees.instance(task);
      for (CompilationUnitTree unit : task.parse()) {
        new TreePathScanner<Void, Void>() {
          @Override
          public Void scan(Tree tree, Void unused) {
            if (tree != null) {
              TreePath path = getCurrentPath();
              visitor.visit(
                  unit, trees, path == null ? new TreePath(unit) : new TreePath(path, tree));
            }
            return super.scan(tree, null);
          }
        }.scan(new TreePath(unit), null);
      }
    }
  }
}
