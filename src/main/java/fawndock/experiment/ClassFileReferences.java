package fawndock.experiment;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads the names of other classes from a class file, whose format is in the Java Virtual Machine
 * Specification, chapter 4. An object reads one file.
 */
final class ClassFileReferences {
  private static final int MAGIC_AND_VERSION_BYTES = 8;
  private static final int ACCESS_FLAGS_BYTES = 2;
  private static final int INDEX_BYTES = 2;
  private static final int METHOD_HANDLE_KIND_BYTES = 1;

  private static final int TAG_UTF8 = 1;
  private static final int TAG_INTEGER = 3;
  private static final int TAG_FLOAT = 4;
  private static final int TAG_LONG = 5;
  private static final int TAG_DOUBLE = 6;
  private static final int TAG_CLASS = 7;
  private static final int TAG_STRING = 8;
  private static final int TAG_FIELD_REFERENCE = 9;
  private static final int TAG_METHOD_REFERENCE = 10;
  private static final int TAG_INTERFACE_METHOD_REFERENCE = 11;
  private static final int TAG_NAME_AND_TYPE = 12;
  private static final int TAG_METHOD_HANDLE = 15;
  private static final int TAG_METHOD_TYPE = 16;
  private static final int TAG_DYNAMIC = 17;
  private static final int TAG_INVOKE_DYNAMIC = 18;
  private static final int TAG_MODULE = 19;
  private static final int TAG_PACKAGE = 20;

  private final DataInputStream in;
  // Both are indexed like the constant pool; entries of other kinds of constants stay empty.
  private String[] texts;
  private int[] classNameIndexes;
  private final Set<Integer> referencedClassIndexes = new TreeSet<>();

  private ClassFileReferences(DataInputStream in) {
    this.in = in;
  }

  /**
   * Returns the classes whose code a class can run by itself: its superclass, its interfaces, and
   * the owners of the methods and fields that it uses. A class that is only named, as an enclosing
   * class, in a signature or in a type check, is not among them: its code runs only when another
   * class creates or calls it.
   *
   * @return names in their internal form, such as {@code java/lang/Object}
   * @throws IOException when the file ends early or has an unknown kind of constant
   */
  static Set<String> read(byte[] classFile) throws IOException {
    ClassFileReferences references =
        new ClassFileReferences(new DataInputStream(new ByteArrayInputStream(classFile)));
    references.in.skipNBytes(MAGIC_AND_VERSION_BYTES);
    references.readConstantPool();
    references.in.skipNBytes(ACCESS_FLAGS_BYTES + INDEX_BYTES);
    references.readSuperclassAndInterfaces();
    return references.referencedNames();
  }

  private void readConstantPool() throws IOException {
    int entryCount = in.readUnsignedShort();
    texts = new String[entryCount];
    classNameIndexes = new int[entryCount];
    int index = 1;
    while (index < entryCount) {
      index += readConstant(index);
    }
  }

  /** Reads a constant and returns the number of entries that it takes. */
  private int readConstant(int index) throws IOException {
    int tag = in.readUnsignedByte();
    switch (tag) {
      case TAG_UTF8 -> texts[index] = in.readUTF();
      case TAG_CLASS -> classNameIndexes[index] = in.readUnsignedShort();
      case TAG_FIELD_REFERENCE, TAG_METHOD_REFERENCE, TAG_INTERFACE_METHOD_REFERENCE -> {
        referencedClassIndexes.add(in.readUnsignedShort());
        in.skipNBytes(INDEX_BYTES);
      }
      case TAG_STRING, TAG_METHOD_TYPE, TAG_MODULE, TAG_PACKAGE -> in.skipNBytes(INDEX_BYTES);
      case TAG_METHOD_HANDLE -> in.skipNBytes(METHOD_HANDLE_KIND_BYTES + INDEX_BYTES);
      case TAG_NAME_AND_TYPE, TAG_DYNAMIC, TAG_INVOKE_DYNAMIC -> in.skipNBytes(2 * INDEX_BYTES);
      case TAG_INTEGER, TAG_FLOAT -> in.skipNBytes(Integer.BYTES);
      case TAG_LONG, TAG_DOUBLE -> {
        in.skipNBytes(Long.BYTES);
        return 2;
      }
      default -> throw new IOException("constant " + index + " has the unknown tag " + tag);
    }
    return 1;
  }

  private void readSuperclassAndInterfaces() throws IOException {
    int superclassIndex = in.readUnsignedShort();
    if (superclassIndex != 0) { // Only java.lang.Object and module descriptors have none.
      referencedClassIndexes.add(superclassIndex);
    }
    int interfaceCount = in.readUnsignedShort();
    for (int i = 0; i < interfaceCount; i++) {
      referencedClassIndexes.add(in.readUnsignedShort());
    }
  }

  private Set<String> referencedNames() {
    Set<String> names = new TreeSet<>();
    for (int classIndex : referencedClassIndexes) {
      String name = texts[classNameIndexes[classIndex]];
      boolean isArrayType = name.startsWith("[");
      if (!isArrayType) {
        names.add(name);
      }
    }
    return names;
  }
}
