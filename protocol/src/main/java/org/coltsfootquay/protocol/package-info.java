/** Protobuf messages between routers; the classes in the {@code generated} package are compiler output. */
package org.coltsfootquay.protocol;
