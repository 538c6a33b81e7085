/** Transport between routers: length-framed protobuf messages over TCP, authenticated by the fleet key. */
package org.coltsfootquay.router.peer;
